// Command simhost runs policy instances under the simulator: it reads batches of events on standard input and replies
// to each with the actions of the instances it hosts. It decides nothing itself, and the instances share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"portstall/internal/wire"
	"portstall/policy"
)

func main() {
	debug.SetGCPercent(800) // the live heap is small, and the simulator charges the CPU time of frequent collections
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host runs the instances of one process and collects the reply to the current batch. It is used by one goroutine.
type host struct {
	instances map[int64]*policy.Balancer // by the simulator's number
	actions   []policy.Action
	reply     []byte
	now       time.Duration // time of the current batch
}

// run handles batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[int64]*policy.Balancer{}}
	r := bufio.NewReaderSize(in, 1<<20)
	var decoder wire.Decoder
	var long []byte // start of a line that exceeds the reader's buffer
	var batch int64
	inBatch := false
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, line...)
			continue
		}
		if len(long) > 0 {
			long = append(long, line...)
			line, long = long, long[:0]
		}
		if err == io.EOF && len(line) == 0 {
			if inBatch {
				return fmt.Errorf("batch %d: input ended inside the batch", batch)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		m, err := decoder.Decode(line)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if (m.Kind == wire.BatchStart) == inBatch {
			return fmt.Errorf("batch %d: message out of place", batch)
		}
		switch m.Kind {
		case wire.BatchStart:
			inBatch, batch, h.now, h.reply = true, m.Batch, m.Now, h.reply[:0]
		case wire.BatchEnd:
			inBatch = false
			if _, err := out.Write(wire.AppendDone(h.reply, batch)); err != nil {
				return err
			}
		default:
			if err := h.handle(m); err != nil {
				return fmt.Errorf("batch %d: %w", batch, err)
			}
		}
	}
}

// handle passes one message to its instance and appends the instance's actions to the reply.
func (h *host) handle(m *wire.Message) error {
	switch m.Kind {
	case wire.Create:
		instance, err := policy.New(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("create: %w", err)
		}
		h.instances[m.Instance] = instance
		return nil
	case wire.PowerOff:
		delete(h.instances, m.Instance)
		return nil
	}
	instance := h.instances[m.Instance]
	if instance == nil {
		return fmt.Errorf("instance %d was never created", m.Instance)
	}
	h.recoverPanic(m.Instance, func() {
		h.actions = instance.Handle(h.now, &m.Event, h.actions[:0])
		for i := range h.actions {
			h.reply = wire.AppendAction(h.reply, m.Instance, &h.actions[i])
		}
	})
	return nil
}

// recoverPanic calls decide, and turns a panic in it into a fault report of the instance.
func (h *host) recoverPanic(instance int64, decide func()) {
	defer func() {
		if p := recover(); p != nil {
			h.reply = wire.AppendFault(h.reply, instance, fmt.Sprint(p))
		}
	}()
	decide()
}
