package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
)

// silentLogger is raft's logger: what matters is told by actions, and where raft can go on no more the voter stops (Log.Handle).
type silentLogger struct{}

func init() { raft.SetLogger(silentLogger{}) } // its store in memory asks for the one of all

func (silentLogger) Debug(...any)            {}
func (silentLogger) Debugf(string, ...any)   {}
func (silentLogger) Error(...any)            {}
func (silentLogger) Errorf(string, ...any)   {}
func (silentLogger) Info(...any)             {}
func (silentLogger) Infof(string, ...any)    {}
func (silentLogger) Warning(...any)          {}
func (silentLogger) Warningf(string, ...any) {}
func (silentLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silentLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (silentLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
