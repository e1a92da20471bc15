package system

// diskBudget divides a data node's disk, in bytes.
type diskBudget struct {
	size uint64
	// retain is how much of the log is kept for slow followers; the log is
	// truncated at twice that size.
	retain uint64
	// reserve is the free space below which no write is accepted, so that the
	// store can still compact.
	reserve uint64
	// lowSpaceThreshold is the free space below which no new job is accepted, so that
	// accepted jobs can be completed.
	lowSpaceThreshold uint64
}

const (
	maxRetain            = 8 << 20
	maxReserve           = 24 << 20
	maxLowSpaceThreshold = 96 << 20
)

// newDiskBudget returns the budget for a disk of a size; 0 stands for a large disk.
func newDiskBudget(size uint64) diskBudget {
	if size == 0 {
		return diskBudget{retain: maxRetain, reserve: maxReserve, lowSpaceThreshold: maxLowSpaceThreshold}
	}
	return diskBudget{
		size: size, retain: min(size/32, maxRetain), reserve: min(size/8, maxReserve), lowSpaceThreshold: min(size*3/10, maxLowSpaceThreshold),
	}
}
