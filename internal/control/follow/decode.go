package follow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"portstall/internal/resource"
)

// decode reads a delta resource by resource, so that the text of a snapshot is never in memory as a whole. Unknown fields are
// ignored. The fields from, to and sum are required, as a delta without them would be a snapshot without resources.
func decode(r io.Reader) (*resource.Delta, error) {
	d := &resource.Delta{}
	dec := json.NewDecoder(&whitespaceLimiter{r: r})
	if err := expectDelim(dec, '{'); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		field, _ := token.(string)
		if seen[field] {
			return nil, fmt.Errorf("%s: occurs twice", field)
		}
		known := true
		switch field {
		case "from":
			err = dec.Decode(&d.From)
		case "to":
			err = dec.Decode(&d.To)
		case "sum":
			err = dec.Decode(&d.Checksum)
		case "put":
			err = decodeList(dec, func() error {
				var r resource.Resource
				err := dec.Decode(&r)
				d.Put = append(d.Put, r)
				return err
			})
		case "gone":
			err = decodeList(dec, func() error {
				var k resource.Key
				err := dec.Decode(&k)
				d.Removed = append(d.Removed, k)
				return err
			})
		default:
			var skip json.RawMessage
			err, known = dec.Decode(&skip), false
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", field, unexpectedEOF(err))
		}
		if known {
			seen[field] = true
		}
	}
	if err := expectDelim(dec, '}'); err != nil {
		return nil, err
	}
	for _, field := range []string{"from", "to", "sum"} {
		if !seen[field] {
			return nil, fmt.Errorf("%s: missing", field)
		}
	}
	switch _, err := dec.Token(); {
	case err == nil:
		return nil, errors.New("trailing data after the response")
	case err != io.EOF:
		return nil, err
	}
	return d, nil
}

// decodeList reads the elements of a list, at most as many as a set may have.
func decodeList(dec *json.Decoder, element func() error) error {
	if err := expectDelim(dec, '['); err != nil {
		return err
	}
	for n := 0; dec.More(); n++ {
		if n == resource.MaxResources {
			return fmt.Errorf("over %d elements", resource.MaxResources)
		}
		if err := element(); err != nil {
			return fmt.Errorf("[%d]: %w", n, err)
		}
	}
	return expectDelim(dec, ']')
}

// expectDelim reads a delimiter and fails if another token comes.
func expectDelim(dec *json.Decoder, want json.Delim) error {
	token, err := dec.Token()
	if err != nil {
		return unexpectedEOF(err)
	}
	if token != want {
		return fmt.Errorf("unexpected %v, want %q", token, want)
	}
	return nil
}

// unexpectedEOF replaces the end of the text, where a token is missing, by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
