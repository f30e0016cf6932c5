package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/state"
)

// BenchmarkHandover is what a hand-over takes with so many web servers and 5,000 open requests: how long the data path stands
// still at the predecessor, the bytes that go over, and how long writing, reading and taking up takes, none of which holds up
// a request.
func BenchmarkHandover(b *testing.B) {
	for _, servers := range []int{12, 1000, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var known []listed
			for i := range servers {
				known = append(known, listed{ID: fmt.Sprint("web-server-", i), Addr: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Zone: "north", Kind: "standard", State: "Ready"})
			}
			old := newRig(b, newRegistry(b), settingsJSON, nil, known...)
			old.core.Lock()
			for _, s := range old.names {
				s.Via = func(ctx context.Context, _ *net.Dialer, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}
			old.core.Unlock()
			for i := range 5000 {
				in, _ := http.NewRequest("GET", "http://x/api", nil)
				up, _ := flow.NewUpload(http.NoBody, 0)
				old.core.Begin(&core.Request{ID: fmt.Sprint("request-", i), Class: "view", Message: in, Body: up, Arrived: old.core.Now(), Patience: time.Minute})
			}
			young := newRig(b, newRegistry(b), settingsJSON, nil)
			var locked, worst, wrote, read, took time.Duration
			var text []byte
			b.ResetTimer()
			for range b.N {
				old.core.Lock()
				begun := time.Now()
				s := old.snapshot(true)
				d := time.Since(begun)
				old.core.Unlock()
				locked, worst = locked+d, max(worst, d)
				begun = time.Now()
				text, _ = state.Encode(s())
				wrote += time.Since(begun)
				begun = time.Now()
				got, err := state.Decode(text)
				if err != nil {
					b.Fatal(err)
				}
				read += time.Since(begun)
				begun = time.Now()
				young.core.Lock()
				young.ageSnapshot(got)
				young.adoptSnapshot(got, 1)
				young.core.Unlock()
				took += time.Since(begun)
			}
			ms := func(d time.Duration) float64 { return d.Seconds() * 1000 / float64(b.N) }
			b.ReportMetric(ms(locked), "ms-locked")
			b.ReportMetric(worst.Seconds()*1000, "ms-locked-worst")
			b.ReportMetric(float64(len(text)), "bytes")
			b.ReportMetric(ms(wrote), "ms-written")
			b.ReportMetric(ms(read), "ms-read")
			b.ReportMetric(ms(took), "ms-taken-up")
			b.ReportMetric(0, "ns/op")
		})
	}
}
