package sexp

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Argument returns the single argument of a list such as (seconds 20).
func (n *Node) Argument() (*Node, error) {
	if arguments := n.Args(); len(arguments) == 1 {
		return arguments[0], nil
	}
	return nil, n.Errorf("(%s ...) takes one value, got %d", n.Head(), len(n.Args()))
}

// Float reads a list's single argument as a number from least to most.
func (n *Node) Float(least, most float64) (float64, error) {
	argument, err := n.Argument()
	if err != nil {
		return 0, err
	}
	return argument.Number(least, most)
}

// Number reads an atom as a number from least to most.
func (n *Node) Number(least, most float64) (float64, error) {
	number, err := strconv.ParseFloat(n.Text, 64)
	if n.Kind != Atom || err != nil || math.IsNaN(number) {
		return 0, n.Errorf("expected a number")
	}
	if number < least || number > most {
		return 0, n.Errorf("%s is out of range; it may be from %v to %v", n.Text, least, most)
	}
	return number, nil
}

// Int reads a list's single argument as a whole number from least to most.
func (n *Node) Int(least, most int) (int, error) {
	number, err := n.Float(float64(least), float64(most))
	if err != nil {
		return 0, err
	}
	if number != math.Trunc(number) {
		return 0, n.Items[1].Errorf("expected a whole number")
	}
	return int(number), nil
}

// Bool reads a list's single argument as yes or no. A list without arguments means yes.
func (n *Node) Bool() (bool, error) {
	if len(n.Args()) == 0 {
		return true, nil
	}
	argument, err := n.Argument()
	if err != nil {
		return false, err
	}
	switch argument.Text {
	case "yes", "true", "on":
		return true, nil
	case "no", "false", "off":
		return false, nil
	}
	return false, argument.Errorf("expected yes or no")
}

// Str reads a list's single argument as a string.
func (n *Node) Str() (string, error) {
	argument, err := n.Argument()
	if err != nil {
		return "", err
	}
	if argument.Kind == List {
		return "", argument.Errorf("expected a string")
	}
	return argument.Text, nil
}

// Millis reads a list's single argument, such as 250ms, 2s or 1m30s, as a duration from least to most, in milliseconds.
func (n *Node) Millis(least, most float64) (float64, error) {
	argument, err := n.Argument()
	if err != nil {
		return 0, err
	}
	return argument.Duration(least, most)
}

// Duration reads an atom as a duration from least to most, in milliseconds.
func (n *Node) Duration(least, most float64) (float64, error) {
	duration, err := time.ParseDuration(n.Text)
	if n.Kind != Atom || err != nil {
		return 0, n.Errorf("expected a duration such as 250ms, 2s or 1m30s")
	}
	ms := float64(duration) / float64(time.Millisecond)
	if ms < least || ms > most {
		return 0, n.Errorf("%s is out of range; it may be from %vms to %vms", n.Text, least, most)
	}
	return ms, nil
}

// units are the suffixes of sizes. The first is 1024 bytes, and each further one is 1024 times the one before.
var units = []string{"k", "m", "g"}

// Bytes reads a list's single argument, such as 512k, 8m or 1g, as a size from least to most, in bytes.
func (n *Node) Bytes(least, most int64) (int64, error) {
	argument, err := n.Argument()
	if err != nil {
		return 0, err
	}
	text, unit := splitUnit(strings.ToLower(argument.Text))
	size, err := strconv.ParseInt(text, 10, 64)
	isSize := argument.Kind == Atom && err == nil && size >= 0
	if !isSize || size > math.MaxInt64/unit {
		return 0, argument.Errorf("expected a size such as 512k, 8m or 1g")
	}
	size *= unit
	if size < least || size > most {
		return 0, argument.Errorf("%s is out of range; it may be from %d to %d bytes", argument.Text, least, most)
	}
	return size, nil
}

// splitUnit splits a size into its number and the bytes of its unit.
func splitUnit(text string) (number string, unit int64) {
	unit = 1
	for _, suffix := range units {
		unit <<= 10
		if number, ok := strings.CutSuffix(text, suffix); ok {
			return number, unit
		}
	}
	return text, 1
}
