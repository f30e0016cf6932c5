package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"portstall/internal/core"
	"portstall/internal/endpoints"
	"portstall/internal/flow"
	"portstall/internal/state"
)

// BenchmarkHandover measures a hand-over with different numbers of web servers and 5,000 open requests: how long the
// predecessor's data path stands still, the size of the state, and how long encoding, decoding and adopting it take,
// none of which delays a request.
func BenchmarkHandover(b *testing.B) {
	for _, servers := range []int{12, 1000, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var known []endpoints.Endpoint
			for i := range servers {
				known = append(known, endpoints.Endpoint{ID: fmt.Sprint("web-server-", i), Addr: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Zone: "north", Kind: "standard", State: "Ready"})
			}
			old := newTestNode(b, newStubDiscovery(b), settingsJSON, nil, known...)
			old.core.Lock()
			for _, server := range old.serversByID {
				server.Dial = func(ctx context.Context, _ *net.Dialer, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}
			old.core.Unlock()
			for i := range 5000 {
				in, _ := http.NewRequest("GET", "http://x/api", nil)
				up, _ := flow.NewUpload(http.NoBody, 0)
				old.core.Begin(&core.Request{ID: fmt.Sprint("request-", i), Class: "view", Message: in, Body: up, Arrived: old.core.Now(), Timeout: time.Minute})
			}
			successor := newTestNode(b, newStubDiscovery(b), settingsJSON, nil)
			var locked, worst, encoded, decoding, adopted time.Duration
			var text []byte
			b.ResetTimer()
			for range b.N {
				old.core.Lock()
				begun := time.Now()
				snapshot := old.snapshot(true)
				d := time.Since(begun)
				old.core.Unlock()
				locked, worst = locked+d, max(worst, d)
				begun = time.Now()
				text, _ = state.Encode(snapshot())
				encoded += time.Since(begun)
				begun = time.Now()
				decoded, err := state.Decode(text)
				if err != nil {
					b.Fatal(err)
				}
				decoding += time.Since(begun)
				begun = time.Now()
				successor.core.Lock()
				successor.ageSnapshot(decoded)
				successor.adoptSnapshot(decoded, 1)
				successor.core.Unlock()
				adopted += time.Since(begun)
			}
			meanMS := func(d time.Duration) float64 { return d.Seconds() * 1000 / float64(b.N) }
			b.ReportMetric(meanMS(locked), "ms-locked")
			b.ReportMetric(worst.Seconds()*1000, "ms-locked-worst")
			b.ReportMetric(float64(len(text)), "bytes")
			b.ReportMetric(meanMS(encoded), "ms-written")
			b.ReportMetric(meanMS(decoding), "ms-read")
			b.ReportMetric(meanMS(adopted), "ms-taken-up")
			b.ReportMetric(0, "ns/op")
		})
	}
}
