// Command beechgrade is a pooler before groups of PostgreSQL-speaking servers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Exit codes beside 0.
const (
	exitFailure  = 1
	exitBadInput = 2
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "beechgrade:", err)
		if errors.As(err, new(badInput)) {
			os.Exit(exitBadInput)
		}
		os.Exit(exitFailure)
	}
}

// badInput is an error in the program's input: arguments, environment, configuration or settings.
type badInput struct{ error }

func (b badInput) Unwrap() error { return b.error }

// command returns the command line's commands and flags.
func command() *cli.Command {
	verbose := &cli.BoolFlag{Name: "verbose", Aliases: []string{"v"}, Usage: "log what is of use only when looking for a fault"}
	settingsFlag := &cli.StringFlag{
		Name:    "settings",
		Sources: cli.EnvVars("EDGE_SETTINGS"),
		Usage:   "the operators' settings, a `FILE` of S-expressions",
	}
	return &cli.Command{
		Name:           "beechgrade",
		Usage:          "a pooler before groups of PostgreSQL-speaking servers",
		DefaultCommand: "serve",
		Flags:          []cli.Flag{verbose, settingsFlag},
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve clients until SIGTERM; what it needs to know is in $EDGE_CONFIG", Action: runServe},
			{Name: "check", Usage: "read the configuration and tell what is in it", Action: runCheck},
			{Name: "version", Usage: "print the version", Action: printVersion},
		},
	}
}

func runServe(_ context.Context, c *cli.Command) error {
	if c.Args().Present() { // serve is the default: a mistyped command must not start it
		return badInput{fmt.Errorf("unknown command or argument %q; see --help", c.Args().First())}
	}
	return serve(c.Bool("verbose"), c.String("settings"))
}

func runCheck(_ context.Context, c *cli.Command) error {
	cfg, set, _, err := loadConfig(c.String("settings"), nil)
	if err != nil {
		return err
	}
	return describe(c.Root().Writer, cfg, set)
}

func printVersion(_ context.Context, c *cli.Command) error {
	fmt.Fprintln(c.Root().Writer, "beechgrade", version())
	return nil
}

// version returns the program's version and that of the compiler.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version + " " + info.GoVersion
}
