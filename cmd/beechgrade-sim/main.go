// Command beechgrade-sim connects the router to the simulator, whose protocol it speaks on standard input and output.
// It hosts many instances, each with its own router. Instances share no state, and all decisions are the routers'.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/simulator"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "beechgrade-sim:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec := simulator.NewDecoder(in)
	w := bufio.NewWriterSize(out, 1<<20)
	routers := map[int]*decide.Router{}
	var reply simulator.Reply
	var actions []decide.Action
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset()
		for i := range batch.Items {
			it := &batch.Items[i]
			switch it.Kind {
			case simulator.StartInstance:
				routers[it.Instance] = decide.New(it.Settings, it.Seed)
			case simulator.StopInstance:
				delete(routers, it.Instance)
			case simulator.DeliverEvent:
				r := routers[it.Instance]
				if r == nil {
					continue
				}
				var fault string
				actions, fault = handle(r, batch.Now, it.Event, actions[:0])
				if fault != "" {
					reply.Fault(it.Instance, fault)
				}
				for k := range actions {
					reply.Add(it.Instance, &actions[k])
				}
			}
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// handle passes one event to the router. A panic is returned as a fault, so that it is reported to the simulator.
func handle(r *decide.Router, now decide.Time, e decide.Event, out []decide.Action) (
	actions []decide.Action, fault string,
) {
	defer func() {
		if p := recover(); p != nil {
			actions, fault = nil, fmt.Sprint("panic: ", p)
		}
	}()
	return r.Handle(now, e, out), ""
}
