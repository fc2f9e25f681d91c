package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"
)

func view(context.Context, *cli.Command) error { return errors.New("not yet") }
