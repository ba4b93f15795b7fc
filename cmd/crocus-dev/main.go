// Command crocus-dev runs a whole deployment in one process on loopback.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/crocusspring/crocusspring/internal/dev"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/settings"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run is main with an exit code.
func run(args []string) int {
	var deployment, level string
	var seconds, seed int64
	var asJSON, keep bool
	s := settings.New("crocus-dev")
	s.Choice(&deployment, "deployment", "klang", []string{"klang", "hanoi"}, "shape of the deployment")
	s.Choice(&level, "log-level", "warn", []string{"debug", "info", "warn", "error"}, "least level of log lines")
	s.Int(&seconds, "seconds", 10, 1, 3600, "how long to send load, in seconds")
	s.Int(&seed, "seed", 1, 0, 1<<62, "seed of the load")
	s.Bool(&asJSON, "json", false, "print the report as one JSON object on the last line")
	s.Bool(&keep, "keep", false, "stay up after the load until interrupted")
	if err := s.Parse(args); err != nil {
		return usage(s, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	lg := logs.New(os.Stderr, logs.Options{Level: level})
	c, err := dev.Start(ctx, dev.Deployments()[deployment], uint64(seed), dev.Observers{}, lg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	for _, a := range c.EntryAddrs {
		fmt.Println("entry at", a)
	}
	r, err := c.Load(ctx, int(seconds))
	r.Seed = uint64(seed)
	if keep {
		<-ctx.Done()
	}
	err = errors.Join(err, c.Stop())
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(r)
	} else {
		fmt.Printf("%d of %d requests answered, %d of %d jobs finished\n", r.RequestsAnswered, r.RequestsSent, r.JobsFinished, r.JobsAccepted)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// usage prints help or the findings of bad settings.
func usage(s *settings.Set, err error) int {
	if errors.Is(err, settings.ErrHelp) {
		fmt.Print(s.Help())
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return 2
}
