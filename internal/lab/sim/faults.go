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
		s.after(s.config.Deployment.Takeover, func() { s.engineGone(engine) })
		s.after(fault.For, func() { s.reviveEngine(engine) })
	case FaultEngineLeaves:
		engine.leaving = true
		s.after(s.config.Deployment.Takeover, func() { s.engineGone(engine) })
		s.after(fault.For, engine.die)
	case FaultEngineSlow:
		engine.slowdown = max(1, fault.Factor)
		s.after(fault.For, func() { engine.slowdown = 1 })
	case FaultReportsStop:
		engine.reportless = true
		s.after(fault.For, func() { engine.reportless = false })
	case FaultTwoHomes:
		s.addRival(engine)
		s.after(fault.For, func() { s.removeRival(engine) })
	case FaultHomeDies:
		s.homes[engine.index].die()
		s.after(s.config.Deployment.Takeover, func() { s.takeOver(engine) })
	}
}

// engineGone is when homes and gateways have learnt that an engine is gone.
func (s *simulation) engineGone(engine *emulatedEngine) {
	for _, home := range s.homesOf(engine.index) {
		home.gone()
	}
	for _, node := range s.nodes {
		node.gateway.setUnusable(engine.index, true)
	}
}

// reviveEngine brings a dead engine back empty, with a home that starts anew.
func (s *simulation) reviveEngine(engine *emulatedEngine) {
	engine.revive()
	for _, node := range s.nodes {
		node.gateway.setUnusable(engine.index, false)
	}
	s.homes[engine.index].die()
	s.takeOver(engine)
}

// takeOver gives the engine a new home at another node of its zone, if there
// is one.
func (s *simulation) takeOver(engine *emulatedEngine) {
	candidates := s.nodesOf(engine.zone)
	chosen := candidates[(engine.index+1)%len(candidates)]
	home, err := s.newHome(chosen, engine)
	if err != nil {
		return // the first home of the same policy was made, so this can't be
	}
	s.homes[engine.index] = home
}

func (s *simulation) addRival(engine *emulatedEngine) {
	candidates := s.nodesOf(engine.zone)
	rival, err := s.newHome(candidates[(engine.index+1)%len(candidates)], engine)
	if err != nil {
		return // as in takeOver
	}
	s.rivals[engine.index] = rival
}

func (s *simulation) removeRival(engine *emulatedEngine) {
	rival := s.rivals[engine.index]
	if rival == nil {
		return
	}
	rival.gone()
	rival.dead = true
	s.rivals[engine.index] = nil
}
