package entry

// mostOnce bounds what is remembered of keys that were told of: a writer that makes up
// keys without end costs a log line a key, but no memory.
const mostOnce = 512

// onceByKey remembers which keys were told of. The zero value remembers none.
type onceByKey struct{ told map[string]bool }

// first reports whether a key is told of for the first time since it was all right.
func (o *onceByKey) first(key string) bool {
	if o.told[key] {
		return false
	}
	if o.told == nil || len(o.told) >= mostOnce {
		o.told = make(map[string]bool)
	}
	o.told[key] = true
	return true
}

// ok notes that a key is all right.
func (o *onceByKey) ok(key string) { delete(o.told, key) }
