package http

import (
	"bufio"
	"fmt"
	"log/slog"
	stdhttp "net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/handover"
	"portstall/internal/lab/standin"
	"portstall/internal/message"
	"portstall/policy"
)

// heir is a successor that gives its word once the test lets it.
type stubSuccessor struct {
	claimed chan struct{}
	verdict chan handover.Verdict
	ended   atomic.Int32
}

func (h *stubSuccessor) Claim(string, time.Duration) handover.Verdict {
	close(h.claimed)
	return <-h.verdict
}
func (h *stubSuccessor) Ended(string) { h.ended.Add(1) }

// A client that leaves while its request waits for a successor's word is seen to, whatever stands unread behind it: before the request
// begins, so that no attempt does. What a client that stands sent ahead is not touched for a word that comes at once, nor where it is
// little.
func TestClientThatLeavesDuringSuccessorClaimIsDetected(t *testing.T) {
	t.Parallel()
	const patience = 20 * time.Second
	head := "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\nX-Class: save\r\nX-Deadline: 900m\r\n\r\n"
	for _, c := range []struct {
		name, text string
		verdict    handover.Verdict
		leaves     bool
		told       string
	}{
		{"alone", head, handover.Granted, true, ""},
		{"with more behind it than the kernel takes", head + strings.Repeat(head, 200<<10), handover.Granted, true, ""},
		{"with more behind it than the kernel takes, open there", head + strings.Repeat(head, 200<<10), handover.Open, true, ""},
		{"busy there, stands", head + strings.Repeat(head, 20), handover.Busy, false, "503"},
		{"open there, stands", head + strings.Repeat(head, 20), handover.Open, false, "409"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := &stubSuccessor{claimed: make(chan struct{}), verdict: make(chan handover.Verdict, 1)}
			k, err := core.New(policy.Settings{Nodes: 1, MaxAttempts: 1, Classes: []policy.Class{{Name: "save", Aim: 1, Deadline: 1}}}, 1,
				core.Options{Clock: stubServices{}, Back: stubServices{}, Roster: stubServices{}, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			defer k.Close()
			k.Lock()
			k.Yield(h)
			k.Unlock()
			f := New(Options{Core: k, Budget: flow.NewBudget(1 << 20), Limit: 1, Away: func() bool { return true }, Ready: func() int { return 200 },
				Until: func() time.Duration { return 0 }, Fits: func(*stdhttp.Request) error { return nil }})
			far, near, err := standin.Pair()
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			far.SetDeadline(time.Now().Add(patience))
			if n, err := standin.Pour(far, c.text, 64<<10); err != nil || (n < len(c.text)) != (len(c.text) > 1<<20) {
				t.Fatalf("the kernels took %d bytes of %d: %v", n, len(c.text), err)
			}
			f.Take()
			f.Go(func() { f.Serve(near, bufio.NewReaderSize(near, message.HeadSize), "") })
			<-h.claimed
			if c.leaves {
				far.Close()
				for end := time.Now().Add(patience); !flow.Left(near); time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Error("not seen to leave")
						break
					}
				}
			}
			h.verdict <- c.verdict
			if c.told != "" {
				resp, err := stdhttp.ReadResponse(bufio.NewReader(far), nil)
				if err != nil || fmt.Sprint(resp.StatusCode) != c.told {
					t.Errorf("it is told %v, %v, want %s", resp, err, c.told)
				}
				far.Close()
			}
			if !f.Wait(t.Context(), patience) {
				t.Error("its connection stays")
			}
			if len(k.Open()) != 0 {
				t.Error("its request stays")
			}
		})
	}
}
