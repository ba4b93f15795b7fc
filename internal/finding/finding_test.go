package finding

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestListIsBounded checks that a list of any number of findings stays short, counts those that it doesn't hold, and repeats
// no long text.
func TestListIsBounded(t *testing.T) {
	const added = 100_000
	long := strings.Repeat("ä", 1<<20)
	var l List
	for range added {
		l.Add(long, long, "is %s", long)
	}
	if len(l) != MaxListed+1 {
		t.Errorf("%d findings are listed, want %d", len(l), MaxListed+1)
	}
	if last := l[len(l)-1]; last.more != added-MaxListed || !strings.Contains(last.Problem, "99984 more") {
		t.Errorf("the last finding stands for %d others and says %q", last.more, last.Problem)
	}
	var e *Error
	if !errors.As(l.Err(), &e) || len(e.Error()) > 4*(MaxListed+1)*MaxText {
		t.Errorf("the error has %d bytes", len(l.Err().Error()))
	}
	if !utf8.ValidString(l.Err().Error()) {
		t.Error("a text is cut within a character")
	}
}

// TestListHoldsFewFindings checks that findings within the bounds are listed as they are.
func TestListHoldsFewFindings(t *testing.T) {
	var l List
	for range MaxListed {
		l.Add("/a", "v", "is %d", 1)
	}
	for _, f := range l {
		if f != (Finding{Place: "/a", Value: "v", Problem: "is 1"}) {
			t.Errorf("listed as %v", f)
		}
	}
	if Brief("abc", 3) != "abc" || Brief("abcd", 3) != "abc... (1 bytes more)" {
		t.Errorf("brief texts are %q and %q", Brief("abc", 3), Brief("abcd", 3))
	}
}
