package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
)

// silentLogger is raft's logger. What matters is reported by actions; where raft cannot go on it panics, and the voter stops (Log.Handle).
type silentLogger struct{}

// The memory storage of raft uses the package's logger, whatever raft.Config has.
func init() { raft.SetLogger(silentLogger{}) }

// The methods of raft.Logger.

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
