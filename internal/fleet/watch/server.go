package watch

import "sync"

// rowServer tracks the last server that is known to run this daemon's service. It is stored in the daemon's row, so that the next process
// need not wait for the server's check-in.
type rowServer struct {
	changed chan struct{} // has a value after current has changed

	mu      sync.Mutex
	current string // id, written with each announcement; empty while none is known
	written string // in the row, as far as this daemon knows
}

// KeepServer makes the daemon's row name the server with the id, within StartSpread.
func (w *Watch) KeepServer(id string) {
	w.init()
	w.server.mu.Lock()
	w.server.current = id
	outdated := id != w.server.written
	w.server.mu.Unlock()
	if !outdated {
		return
	}
	select {
	case w.server.changed <- struct{}{}:
	default: // announceLoop has yet to take the last one
	}
}

// rowNamesServer reports whether the row names the current server, as far as this daemon knows.
func (w *Watch) rowNamesServer() bool {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	return w.server.current == w.server.written
}

func (w *Watch) currentServer() string {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	return w.server.current
}

func (w *Watch) markServerWritten(id string) {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	w.server.written = id
}

// restoreServer adopts the server in the row of an earlier daemon at this address, if that daemon had the same service and this one has
// not heard of a server yet.
func (w *Watch) restoreServer(a announcement) {
	if a.Server == "" || a.Record.Service != w.Table.Self().Service {
		return
	}
	w.server.mu.Lock()
	w.server.written = a.Server
	known := w.server.current != ""
	if !known {
		w.server.current = a.Server
	}
	w.server.mu.Unlock()
	if known || w.OnServerRestored == nil {
		return
	}
	w.Log.Info("server-restored", "server", a.Server)
	w.OnServerRestored(a.Server)
}
