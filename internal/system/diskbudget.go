package system

// diskBudget shares a data node's disk out, in bytes.
type diskBudget struct {
	size uint64
	// retain is how much of the log is kept for slow followers; the log may be
	// twice that before it is cut.
	retain uint64
	// reserve is the free space below which nothing is accepted, so that the
	// store can still compact what it has.
	reserve uint64
	// scarce is the free space below which no new job is taken, so that those
	// that were can be completed.
	scarce uint64
}

const (
	retainMost  = 8 << 20
	reserveMost = 24 << 20
	scarceMost  = 96 << 20
)

// newDiskBudget shares out a disk of the size; 0 means that it is large.
func newDiskBudget(size uint64) diskBudget {
	if size == 0 {
		return diskBudget{retain: retainMost, reserve: reserveMost, scarce: scarceMost}
	}
	return diskBudget{
		size: size, retain: min(size/32, retainMost), reserve: min(size/8, reserveMost), scarce: min(size*3/10, scarceMost),
	}
}
