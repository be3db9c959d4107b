package evacuation

import "time"

// RefillTime is how long a reopened data centre is filled gradually. Its workers may be cold and run slower for a while
// after an evacuation.
const RefillTime = 20 * time.Second

// initialFillShare is the share of a worker's CPU that may be reserved right after its data centre was reopened. It lets
// the data centre take work at once, as soon as it was closed.
const initialFillShare = 0.2

// FillShare returns the share of a worker's CPU that may be reserved at a time after its data centre was reopened. It
// grows linearly to 1 within RefillTime.
func FillShare(sinceReopened time.Duration) float64 {
	if sinceReopened >= RefillTime {
		return 1
	}
	passed := max(0, float64(sinceReopened)/float64(RefillTime))
	return initialFillShare + (1-initialFillShare)*passed
}
