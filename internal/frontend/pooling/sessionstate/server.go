package sessionstate

import "container/list"

// Server is the state of one connection to a server: the settings that are in force there and the statements that are prepared.
type Server struct {
	MaxCount int // prepared statements
	MaxBytes int // that they take, approximately

	settings map[string]string // by name, as SQL; others have the server's default
	prepared map[uint64]*list.Element
	order    *list.List // of *Statement, the most recently used first
	bytes    int
}

// NewServer returns the state of a new connection.
func NewServer(maxCount, maxBytes int) *Server {
	return &Server{
		MaxCount: maxCount,
		MaxBytes: maxBytes,
		settings: map[string]string{},
		prepared: map[uint64]*list.Element{},
		order:    list.New(),
	}
}

// Has reports whether a statement is prepared on the connection, and marks it as recently used.
func (s *Server) Has(statement *Statement) bool {
	element := s.prepared[statement.ID]
	if element != nil {
		s.order.MoveToFront(element)
	}
	return element != nil
}

// Add records a statement that is being prepared, and returns those that must be closed to stay within the limits.
func (s *Server) Add(statement *Statement) (evicted []*Statement) {
	if s.Has(statement) {
		return nil
	}
	statement.users++ // the statement keeps its name for as long as a server has it prepared
	s.prepared[statement.ID] = s.order.PushFront(statement)
	s.bytes += statement.Size()
	for s.overLimit() && s.order.Len() > 1 {
		oldest := s.order.Back().Value.(*Statement)
		s.Drop(oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}

func (s *Server) overLimit() bool { return s.order.Len() > s.MaxCount || s.bytes > s.MaxBytes }

// Drop records that a statement is no longer prepared on the connection.
func (s *Server) Drop(statement *Statement) {
	element := s.prepared[statement.ID]
	if element == nil {
		return
	}
	s.order.Remove(element)
	delete(s.prepared, statement.ID)
	s.bytes -= statement.Size()
	statement.Release()
}

// Prepared returns the number of statements that are prepared on the connection.
func (s *Server) Prepared() int { return s.order.Len() }

// DeallocatedAll records DEALLOCATE ALL, or the end of the connection.
func (s *Server) DeallocatedAll() {
	for element := s.order.Front(); element != nil; element = element.Next() {
		element.Value.(*Statement).Release()
	}
	s.prepared = map[uint64]*list.Element{}
	s.bytes = 0
	s.order.Init()
}

// DiscardedAll records DISCARD ALL.
func (s *Server) DiscardedAll() {
	s.settings = map[string]string{}
	s.DeallocatedAll()
}
