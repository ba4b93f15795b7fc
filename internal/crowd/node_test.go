package crowd

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/standin/logstand"
)

// nodeMemoryMB is the memory of the machine of a node under --listen, in MB.
const nodeMemoryMB = 64

// startNode starts an entry with the product's own interface and settings, and waits until it can serve.
func startNode(t *testing.T) *process {
	t.Helper()
	addr := loopbackIP() + ":8400"
	p := &process{front: addr, log: filepath.Join(t.TempDir(), "log")}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(programs, programEntry), "--id", "entry", "--data-centre", "zone", "--cells", "zone",
		"--listen", addr, "--log-service", serve(t, logstand.New(0).NewEndpoint().Handler()))
	p.cmd.Env = []string{fmt.Sprintf("CROCUS_MEMORY_MB=%d", nodeMemoryMB), fmt.Sprintf("CROCUS_MAX_FDS=%d", maxFDs)}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.run(t, "node")
	const attempts, pauseBetween = 100, 100 * time.Millisecond
	for range attempts {
		if getStatus(addr, "/readyz") == http.StatusOK {
			return p
		}
		time.Sleep(pauseBetween)
	}
	t.Fatal("the node is not ready")
	return nil
}

// TestCrowdOnOwnInterface checks a node under --listen, whose only listener serves callers, operators and other nodes.
func TestCrowdOnOwnInterface(t *testing.T) {
	const bodyLimit = 1 << 20
	whole := paddedJob(bodyLimit)
	for _, c := range []struct {
		name string
		misuse
	}{
		{"call", misuse{method: "POST", path: "/v1/services/s/call", announced: bodyLimit, body: whole[:bodyLimit-1]}},
		{"job", misuse{method: "POST", path: "/v1/jobs", announced: bodyLimit, body: whole[:bodyLimit-1]}},
		{"job, chunks", misuse{method: "POST", path: "/v1/jobs", chunk: 64 << 10, body: whole}},
		{"announcement", misuse{method: "POST", path: "/v1/announce", announced: bodyLimit, body: whole[:bodyLimit-1]}},
		{"record", misuse{method: "POST", path: "/v1/records", chunk: 64 << 10, body: whole}},
		{"peer", misuse{method: "POST", path: "/crocusspring.peer.v1.PeerService/Exchange", announced: 64 << 20, body: whole}},
		{"unknown path", misuse{method: "POST", path: unknownPath, announced: bodyLimit, body: whole[:bodyLimit-1]}},
		{"nothing sent", misuse{raw: []byte{}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startNode(t)
			crowd := gather(t, p.front, crowdSize, c.misuse)
			if got := getStatus(p.front, "/v1/status"); got != http.StatusOK {
				t.Errorf("an ordinary request is answered with status %d", got)
			}
			crowd.checkDismissed(t)
			p.check(t, nodeMemoryMB)
		})
	}
}
