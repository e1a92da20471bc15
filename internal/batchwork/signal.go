package batchwork

// signal broadcasts changes to waiters. The zero value is ready to use.
type signal struct{ changed chan struct{} }

// wait returns a channel that closes at the next change.
func (s *signal) wait() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *signal) fire() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
