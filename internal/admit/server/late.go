package server

import "sync"

// sending is the state of the sending of a request, which may go on after its response is complete.
type sending struct {
	done chan struct{} // closed when sending has ended, after afterwards was called; nil before it begins

	mu         sync.Mutex
	ended      bool
	err        error  // why the request was not sent completely; set before ended
	afterwards func() // called when sending ends; may be nil
}

// send writes the request. It returns when the request is sent, or when its connection or its body has failed.
func (k *conn) send(a *Attempt) {
	err := k.write(a)
	s := &a.sending
	s.mu.Lock()
	s.ended, s.err = true, err
	afterwards := s.afterwards
	s.mu.Unlock()
	if afterwards != nil {
		afterwards()
	}
	close(s.done)
}

// after calls f once sending has ended.
func (s *sending) after(f func()) {
	s.mu.Lock()
	if !s.ended {
		s.afterwards = f
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	f()
}

// Sent returns a channel that is closed once nothing of the request is still to be sent, which may be after its response: all of it was
// sent, or its connection or its body has failed. After a response that was read to its end, its connection is then free or closed. It is
// nil for an attempt that got no connection.
func (a *Attempt) Sent() <-chan struct{} {
	return a.sending.done
}

// IsSent reports whether the channel of Sent is closed or nil.
func (a *Attempt) IsSent() bool {
	if a.sending.done == nil {
		return true
	}
	select {
	case <-a.sending.done:
		return true
	default:
		return false
	}
}

// SendError returns why the request was not sent completely. It may be called once IsSent reports true.
func (a *Attempt) SendError() error {
	return a.sending.err
}
