package scale

import (
	"errors"
	"testing"
	"time"
)

// Holds the figures in docs/CAPACITY.md about contracts that are split among nodes. They have two known defects: a node
// whose share of the burst is less than one request admits one nevertheless, and a node that sees a tenant seldom has
// refilled less than one request. When these are fixed, the expected ranges change.
func TestSplitContract(t *testing.T) {
	for _, c := range []struct {
		nodes                  int
		refusedFrom, refusedTo float64
		firstFrom, firstTo     float64
	}{{1, 0, 0, 0.95, 1}, {10, 0.25, 0.35, 0.6, 1.01}, {100, 0.25, 0.35, 1.6, 1.7}, {450, 0.25, 0.35, 7.4, 7.6}} {
		p := SplitContract(c.nodes, "a tenant", 2.1, 500, time.Hour)
		if p.RefusedShare < c.refusedFrom || p.RefusedShare > c.refusedTo ||
			p.InitialAdmitted < c.firstFrom || p.InitialAdmitted > c.firstTo {
			t.Errorf("split result %+v, want within %+v", p, c)
		}
		if again := SplitContract(c.nodes, "a tenant", 2.1, 500, time.Hour); again != p {
			t.Errorf("two runs with one seed differ: %+v, %+v", p, again)
		}
	}
}

func TestSimulateMembers(t *testing.T) {
	a, err := SimulateMembers(t.Context(), 12, 5, 30*time.Second, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if b, _ := SimulateMembers(t.Context(), 12, 5, 30*time.Second, time.Minute); a != b {
		t.Errorf("two runs with one seed differ: %+v, %+v", a, b)
	}
	if a.MinKnownShare != 1 || a.BytesPerSecond <= 0 || a.BytesPerSecond > 16<<10 ||
		a.PacketsPerSecond < 1 || a.SignaturesPerSecond < 1 {
		t.Errorf("implausible traffic: %+v", a)
	}
	if _, err := SimulateMembers(t.Context(), 12, 5, time.Hour, 0); !errors.Is(err, errTooSlow) {
		t.Errorf("limit of 0: error %v, want errTooSlow", err)
	}
}

func TestQuantile(t *testing.T) {
	list := []float64{5, 1, 4, 2, 3}
	for q, want := range map[float64]float64{0: 1, 0.2: 1, 0.5: 3, 0.99: 5, 1: 5} {
		if got := quantile(list, q); got != want {
			t.Errorf("quantile %v: %v, want %v", q, got, want)
		}
	}
	if quantile(nil, 0.5) != 0 {
		t.Error("the quantile of an empty list is not 0")
	}
}
