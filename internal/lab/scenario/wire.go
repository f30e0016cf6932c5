package scenario

// NodeSettings returns the values of Settings in the form of a node process's configuration.
func (s *Scenario) NodeSettings() map[string]any {
	settings := s.Settings()
	effectName := map[string]string{"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
	var grades, projects []any
	for _, c := range s.Classes {
		group := c.Group
		switch group {
		case "":
			group = "all"
		case "pod":
			group = "cell"
		}
		grades = append(grades, map[string]any{"name": c.Name, "aim_s": c.Aim.Seconds(), "deadline_s": c.Deadline.Seconds(),
			"effect": effectName[c.Effect], "group": group, "gain": c.Worth, "late_worth": 0,
			"repeat_window_s": c.Window.Seconds()})
	}
	for _, t := range settings.Tenants {
		projects = append(projects, map[string]any{"name": t.Name, "quota_per_s": t.QuotaPerS})
	}
	discovery := "ask"
	if s.Roster.Push {
		discovery = "push"
	}
	c := s.Servers.Connections
	return map[string]any{"balancers": s.Nodes, "zone": settings.Zone, "discovery": discovery, "grades": grades, "projects": projects,
		"over_share_worth": settings.OverShare, "report": map[string]any{"how": "piggyback", "names": []string{"depth"}},
		"policy_limits": map[string]any{"cancel": true, "max_attempts": settings.MaxAttempts,
			"retry_after": settings.RetryAfter > 0, "max_retry_after_s": settings.RetryAfter.Seconds(),
			"conn_idle_s": c.Idle.Seconds(), "connect_timeout_s": c.ConnectTimeout.Seconds()},
		"invariants": map[string]any{"drain_grace_s": settings.DrainGrace.Seconds(), "cold_s": settings.ColdFor.Seconds(),
			"cold_share": settings.ColdShare, "fall_s": settings.FallFor.Seconds(), "overload_factor": settings.FallFactor,
			"must_ask_in_s": settings.MustAskIn.Seconds(), "answer_slack_s": s.Rules.AnswerSlack.Seconds()}}
}
