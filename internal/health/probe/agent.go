// Package probe checks the health of web servers by the protocols that common load balancers use: HAProxy's agent-check,
// HTTP, TCP and gRPC. Every probe ends with its context, reads a bounded number of bytes, and leaves no connection open
// (gRPC's Watch keeps its stream open on purpose).
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

// maxAgentReply is the limit on an agent's reply, in bytes.
const maxAgentReply = 1024

// QueryAgent asks the agent at an address for its report and also returns the unknown keywords in its reply. Send is
// written to the agent first, unless it is empty. The reply ends with its first line or with the connection; one that is
// cut off before either is an error.
func QueryAgent(ctx context.Context, dial Dial, addr, send string) (health.Report, []string, error) {
	conn, err := connect(ctx, dial, addr)
	if err != nil {
		return health.EmptyReport, nil, err
	}
	defer conn.Close()
	if send != "" {
		if _, err := io.WriteString(conn, send); err != nil {
			return health.EmptyReport, nil, fmt.Errorf("writing to the agent: %w", err)
		}
	}
	text := make([]byte, 0, maxAgentReply)
	for !bytes.ContainsAny(text, "\r\n") {
		if len(text) == maxAgentReply {
			return health.EmptyReport, nil, fmt.Errorf("agent reply has no end of line within %d bytes", maxAgentReply)
		}
		n, err := conn.Read(text[len(text):maxAgentReply])
		text = text[:len(text)+n]
		if errors.Is(err, io.EOF) {
			break // the last line may lack its end
		}
		if err != nil {
			return health.EmptyReport, nil, fmt.Errorf("reading the agent's reply: %w", err)
		}
	}
	return health.ParseAgent(string(text))
}
