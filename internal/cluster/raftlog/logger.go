package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
)

// silentLogger is the logger given to raft. It discards messages, as actions report what matters, and panics where raft cannot go on, which
// stops the voter (Log.Handle).
type silentLogger struct{}

// The memory storage of raft uses the package's logger, not the one of raft.Config.
func init() { raft.SetLogger(silentLogger{}) }

// These methods implement raft.Logger.

func (silentLogger) Debug(...any)            {}
func (silentLogger) Debugf(string, ...any)   {}
func (silentLogger) Error(...any)            {}
func (silentLogger) Errorf(string, ...any)   {}
func (silentLogger) Info(...any)             {}
func (silentLogger) Infof(string, ...any)    {}
func (silentLogger) Warning(...any)          {}
func (silentLogger) Warningf(string, ...any) {}

func (silentLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (silentLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silentLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
