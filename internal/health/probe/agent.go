// Package probe asks web servers how they are, by the protocols that common balancers use. Every probe ends with its
// context, reads a bounded number of bytes, and leaves no connection behind.
package probe

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"portstall/internal/health"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// agentMost is how long an agent's answer may be.
const agentMost = 1024

// Agent asks an agent at an address. Send is what it is told first; empty: nothing. The answer ends with its line or with
// the connection; one that is cut before either is an error.
func Agent(ctx context.Context, dial Dial, addr, send string) (health.Word, []string, error) {
	conn, err := open(ctx, dial, addr)
	if err != nil {
		return health.Silent, nil, err
	}
	defer conn.Close()
	if send != "" {
		if _, err := io.WriteString(conn, send); err != nil {
			return health.Silent, nil, fmt.Errorf("telling the agent: %w", err)
		}
	}
	text := make([]byte, 0, agentMost)
	for !bytes.ContainsAny(text, "\r\n") {
		if len(text) == agentMost {
			return health.Silent, nil, fmt.Errorf("the agent's answer has no end within %d bytes", agentMost)
		}
		n, err := conn.Read(text[len(text):agentMost])
		text = text[:len(text)+n]
		if errors.Is(err, io.EOF) {
			break // the end of the line may be left out
		}
		if err != nil {
			return health.Silent, nil, fmt.Errorf("reading the agent's answer: %w", err)
		}
	}
	return health.ParseAgent(string(text))
}
