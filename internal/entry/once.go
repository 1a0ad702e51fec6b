package entry

// maxLoggedKeys bounds what is remembered of keys that were told of: a writer that makes up
// keys without end costs a log line a key, but no memory.
const maxLoggedKeys = 512

// onceByKey remembers which keys were told of. The zero value remembers none.
type onceByKey struct{ logged map[string]bool }

// firstTime reports whether a key is told of for the first time since it was all right.
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

// reset notes that a key is all right.
func (o *onceByKey) reset(key string) { delete(o.logged, key) }
