package entry

// maxLoggedKeys bounds how many keys are remembered as logged; beyond it, all are forgotten.
// A writer that keeps inventing keys then costs a log line per key, but no memory.
const maxLoggedKeys = 512

// onceByKey remembers for which keys a fault was logged, so that it is logged once. The zero
// value remembers none. It is not safe for concurrent use.
type onceByKey struct{ logged map[string]bool }

// firstTime marks the key as logged, and reports whether it was not marked before.
func (o *onceByKey) firstTime(key string) bool {
	if o.logged[key] {
		return false
	}
	if o.logged == nil || len(o.logged) >= maxLoggedKeys {
		o.logged = make(map[string]bool)
	}
	o.logged[key] = true
	return true
}

// reset forgets a key that has no fault any more, so that its next fault is logged.
func (o *onceByKey) reset(key string) { delete(o.logged, key) }
