package batch

// Config is the controller's settings for the engines of one service.
type Config struct {
	// Share is Service.BatchShare: the weight between harm to online (0) and
	// batch throughput (1).
	Share float64
	// Slots is how many streams an engine runs at once (Service.SlotsPerEngine).
	Slots int
	// Redo makes the controller cancel streams instead of suspending them, for
	// engines that can't suspend.
	Redo bool
}
