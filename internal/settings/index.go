package settings

// indexShards is the number of shards of an index. A change copies the table
// of shards and only the modified shards.
const indexShards = 1024

// index is an immutable sharded map whose modified copies share unchanged shards.
type index[K comparable, V any] struct {
	shards []map[K]V
	hash   func(K) uint64
	size   int
}

func newIndex[K comparable, V any](hash func(K) uint64) *index[K, V] {
	return &index[K, V]{shards: make([]map[K]V, indexShards), hash: hash}
}

func (i *index[K, V]) get(key K) (V, bool) {
	value, ok := i.shards[i.hash(key)%indexShards][key]
	return value, ok
}

// edit returns a copy modified by apply.
func (i *index[K, V]) edit(apply func(editor *indexEditor[K, V])) *index[K, V] {
	editor := &indexEditor[K, V]{
		result: &index[K, V]{shards: make([]map[K]V, indexShards), hash: i.hash, size: i.size},
		copied: make(map[uint64]bool),
	}
	copy(editor.result.shards, i.shards)
	apply(editor)
	return editor.result
}

// each visits all entries in unspecified order.
func (i *index[K, V]) each(visit func(K, V)) {
	for _, shard := range i.shards {
		for key, value := range shard {
			visit(key, value)
		}
	}
}

// indexEditor modifies an index before it is shared.
type indexEditor[K comparable, V any] struct {
	result *index[K, V]
	copied map[uint64]bool
}

// mutableShard returns the shard of key, copied on its first modification.
func (e *indexEditor[K, V]) mutableShard(key K) map[K]V {
	number := e.result.hash(key) % indexShards
	if e.copied[number] {
		return e.result.shards[number]
	}
	e.copied[number] = true
	old := e.result.shards[number]
	fresh := make(map[K]V, len(old)+1)
	for k, v := range old {
		fresh[k] = v
	}
	e.result.shards[number] = fresh
	return fresh
}

func (e *indexEditor[K, V]) set(key K, value V) {
	shard := e.mutableShard(key)
	if _, present := shard[key]; !present {
		e.result.size++
	}
	shard[key] = value
}

func (e *indexEditor[K, V]) remove(key K) {
	shard := e.mutableShard(key)
	if _, present := shard[key]; present {
		e.result.size--
	}
	delete(shard, key)
}
