package sim

func (s *simulation) scheduleFaults() {
	for _, fault := range s.config.Faults {
		if fault.Engine < len(s.engines) {
			s.after(fault.At, func() { s.inject(fault) })
		}
	}
}

func (s *simulation) inject(fault Fault) {
	engine := s.engines[fault.Engine]
	switch fault.Kind {
	case FaultEngineDies:
		engine.die()
		s.after(s.config.Deployment.Takeover, func() { s.removeEngine(engine) })
		s.after(fault.For, func() { s.restartEngine(engine) })
	case FaultEngineLeaves:
		engine.leaving = true
		s.after(s.config.Deployment.Takeover, func() { s.removeEngine(engine) })
		s.after(fault.For, engine.die)
	case FaultEngineSlow:
		engine.slowdown = max(1, fault.Factor)
		s.after(fault.For, func() { engine.slowdown = 1 })
	case FaultReportsStop:
		engine.reportsStopped = true
		s.after(fault.For, func() { engine.reportsStopped = false })
	case FaultTwoHomes:
		s.addDuplicateHome(engine)
		s.after(fault.For, func() { s.removeDuplicateHome(engine) })
	case FaultHomeDies:
		s.homes[engine.index].die()
		s.after(s.config.Deployment.Takeover, func() { s.replaceHome(engine) })
	}
}

// removeEngine notifies homes and gateways that an engine is leaving or dead.
func (s *simulation) removeEngine(engine *simEngine) {
	for _, home := range s.liveHomes(engine.index) {
		home.release()
	}
	for _, node := range s.nodes {
		node.gateway.setUnusable(engine.index, true)
	}
}

// restartEngine restarts a dead engine, empty and with a new home.
func (s *simulation) restartEngine(engine *simEngine) {
	engine.restart()
	for _, node := range s.nodes {
		node.gateway.setUnusable(engine.index, false)
	}
	s.homes[engine.index].die()
	s.replaceHome(engine)
}

// replaceHome assigns the engine a new home, at another node of its zone if there
// is one.
func (s *simulation) replaceHome(engine *simEngine) {
	candidates := s.nodesInZone(engine.zone)
	chosen := candidates[(engine.index+1)%len(candidates)]
	home, err := s.newHome(chosen, engine)
	if err != nil {
		return // impossible: assignHomes succeeded with the same policy
	}
	s.homes[engine.index] = home
}

func (s *simulation) addDuplicateHome(engine *simEngine) {
	candidates := s.nodesInZone(engine.zone)
	duplicate, err := s.newHome(candidates[(engine.index+1)%len(candidates)], engine)
	if err != nil {
		return // impossible, as in replaceHome
	}
	s.duplicateHomes[engine.index] = duplicate
}

func (s *simulation) removeDuplicateHome(engine *simEngine) {
	duplicate := s.duplicateHomes[engine.index]
	if duplicate == nil {
		return
	}
	duplicate.release()
	duplicate.dead = true
	s.duplicateHomes[engine.index] = nil
}
