package follow

import (
	"errors"
	"io"
	"strings"
	"testing"

	"portstall/internal/resource"
)

// A response with too long a run of whitespace is rejected at the limit, wherever the run is and however it is read. Up to the limit
// it is decoded.
func TestWhitespaceRunsAreLimited(t *testing.T) {
	const head, tail = `{"from":"0.0","to":"1.1","sum":`, `"0000000000000000"}`
	for _, c := range []struct {
		name, text string
		maxRead    int // bytes that may be read of the text
		rejected   bool
	}{
		{"as many bytes as a spec may have", head + strings.Repeat(" ", resource.MaxSpec) + tail, len(head) + resource.MaxSpec + len(tail), false},
		{"one byte more", head + strings.Repeat("\n", resource.MaxSpec+1) + tail, len(head) + resource.MaxSpec + len(tail) + 1, true},
		{"before the response", strings.Repeat("\t", resource.MaxResponse), 2 * resource.MaxSpec, true},
		{"after the response", head + tail + strings.Repeat(" ", resource.MaxResponse), 2 * resource.MaxSpec, true},
		{"several runs", head + strings.Repeat(" ", 60<<10) + tail[:len(tail)-1] + strings.Repeat(" \r", 30<<10) + "}", resource.MaxResponse, false},
	} {
		reader := &countingReader{r: strings.NewReader(c.text)}
		_, err := decode(reader)
		if (err != nil) != c.rejected || c.rejected && !errors.Is(err, errWhitespace) {
			t.Errorf("%s: %v", c.name, err)
		}
		if reader.n > c.maxRead {
			t.Errorf("%s: %d bytes were read, want at most %d", c.name, reader.n, c.maxRead)
		}
	}
}

// countingReader counts the bytes read and returns at most 4 KB at a time, as a connection may.
type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p[:min(len(p), 4096)])
	c.n += n
	return n, err
}
