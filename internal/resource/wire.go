package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Encode writes a delta as JSON. Specs keep their bytes: json.Marshal would escape <, > and & in them, and their hashes
// would no longer match.
func Encode(d *Delta) ([]byte, error) {
	var buf bytes.Buffer
	e := json.NewEncoder(&buf)
	e.SetEscapeHTML(false)
	if err := e.Encode(d); err != nil {
		return nil, fmt.Errorf("delta to %v: %w", d.To, err)
	}
	if buf.Len() > MaxResponse {
		return nil, fmt.Errorf("delta to %v: %d bytes: at most %d", d.To, buf.Len(), MaxResponse)
	}
	return buf.Bytes(), nil
}

// Decode reads a delta that Encode wrote and ignores unknown fields. The content is checked by Set.Check.
func Decode(data []byte) (*Delta, error) {
	if len(data) > MaxResponse {
		return nil, fmt.Errorf("delta: %d bytes: at most %d", len(data), MaxResponse)
	}
	d := new(Delta)
	if err := json.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("delta: %w", err)
	}
	return d, nil
}
