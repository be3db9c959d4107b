package ctl

// leaderReport reads a report at a path of the instances' metrics addresses: that of the leader, or else that of the first instance
// that can be reached. Operators' tokens are not sent there.
func leaderReport[T any](a *App, urls []string, path string, leading func(*T) bool) (T, error) {
	var first *T
	var lastErr error
	for _, address := range urls {
		var report T
		one := *a.client
		one.urls, one.token = []string{address}, ""
		if err := one.get(a.ctx, path, &report); err != nil {
			lastErr = err
			continue
		}
		if leading(&report) {
			return report, nil
		}
		if first == nil {
			first = &report
		}
	}
	if first == nil {
		var none T
		return none, lastErr
	}
	return *first, nil
}
