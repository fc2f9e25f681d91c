// Command verdict reads the events of "go test -json" on standard input, prints the failures and the known failures, and exits with 0 if
// only known failures occurred. Its argument is the list of known failures; a list that does not exist counts as empty.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"beechgrade/internal/testkit/knownred"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: verdict LIST < events")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(list string) error {
	text, err := os.ReadFile(list)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	known, err := knownred.ParseList(string(text))
	if err != nil {
		return err
	}
	result, err := knownred.Read(os.Stdin, os.Stdout)
	if err != nil {
		return err
	}
	fmt.Printf("known failures: %d\n", len(known))
	for _, entry := range known {
		outcome := "failed"
		if !result.Failed[entry.Test] {
			outcome = "did not fail this time"
		}
		fmt.Printf("KNOWN RED, %s: %s: %s (%s; %s)\n", outcome, entry.Test, entry.Seen, entry.Command, entry.Issue)
	}
	reasons := result.Verdict(known)
	for _, reason := range reasons {
		fmt.Println("FAIL:", reason)
	}
	if len(reasons) > 0 {
		return fmt.Errorf("%d reasons to fail", len(reasons))
	}
	return nil
}
