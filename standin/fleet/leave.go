package fleet

// Born returns the reported time of the start, in ms since the Unix epoch.
func (w *Worker) Born() int64 { return w.incarnation }

// Leave makes the worker report the state draining from now on. It goes on serving calls.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Deregister tells the runner that the worker is about to end.
func (w *Worker) Deregister() { w.report("deregister", nil) }
