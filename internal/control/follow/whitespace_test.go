package follow

import (
	"errors"
	"io"
	"strings"
	"testing"

	"portstall/internal/resource"
)

// An answer with blanks without end is given up at the bound, wherever they stand and however it comes in; up to the bound it is read.
func TestWhitespaceRunsAreLimited(t *testing.T) {
	const head, tail = `{"from":"0.0","to":"1.1","sum":`, `"0000000000000000"}`
	for _, c := range []struct {
		name, text string
		most       int // bytes that may be read of it
		bad        bool
	}{
		{"as many as a spec has", head + strings.Repeat(" ", resource.MaxSpec) + tail, len(head) + resource.MaxSpec + len(tail), false},
		{"one more", head + strings.Repeat("\n", resource.MaxSpec+1) + tail, len(head) + resource.MaxSpec + len(tail) + 1, true},
		{"before anything", strings.Repeat("\t", resource.MaxAnswer), 2 * resource.MaxSpec, true},
		{"behind the answer", head + tail + strings.Repeat(" ", resource.MaxAnswer), 2 * resource.MaxSpec, true},
		{"several runs", head + strings.Repeat(" ", 60<<10) + tail[:len(tail)-1] + strings.Repeat(" \r", 30<<10) + "}", resource.MaxAnswer, false},
	} {
		text := &countingReader{r: strings.NewReader(c.text)}
		_, err := decode(text)
		if (err != nil) != c.bad || c.bad && !errors.Is(err, errWhitespace) {
			t.Errorf("%s: %v", c.name, err)
		}
		if text.n > c.most {
			t.Errorf("%s: %d bytes were read, at most %d are to be", c.name, text.n, c.most)
		}
	}
}

// metered hands out 4 KB at a time, as a connection may.
type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p[:min(len(p), 4096)])
	c.n += n
	return n, err
}
