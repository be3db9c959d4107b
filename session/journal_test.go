package session

import "bronzehook/platform/standin"

// runs returns the attempts in the journals that match.
func (f *fleet) runs(match func(standin.Run) bool) []standin.Run {
	var found []standin.Run
	for _, w := range f.site.Workers() {
		for _, r := range w.Journal().Runs() {
			if match(r) {
				found = append(found, r)
			}
		}
	}
	return found
}
