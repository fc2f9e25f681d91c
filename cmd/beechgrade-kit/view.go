package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/console"
	"beechgrade/internal/testkit/incident"
	"beechgrade/internal/testkit/records"
)

// view shows an incident in a console; with --follow, it goes on reading records while they are written.
func view(ctx context.Context, c *cli.Command) error {
	if !c.Bool("follow") {
		v, err := loadView(c)
		if err != nil {
			return err
		}
		return console.Run(ctx, console.New(v, nil))
	}
	if !c.Args().Present() {
		return errors.New("which records? name their folders")
	}
	set, err := records.Open(true, c.Args().Slice()...)
	if err != nil {
		return err
	}
	m := incident.New()
	next := func() (*incident.View, error) {
		if err := set.Read(m); err != nil {
			return nil, err
		}
		return m.View(), nil
	}
	v, err := next()
	if err != nil {
		return err
	}
	return console.Run(ctx, console.New(v, next))
}
