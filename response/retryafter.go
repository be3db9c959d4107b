package response

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// HeaderRetryAfter is the standard header with the number of seconds after which a request may be sent again.
const HeaderRetryAfter = "Retry-After"

// DefaultRetryAfter is sent with a refusal if no better time is known.
const DefaultRetryAfter = time.Second

// SetRetryAfter sets HeaderRetryAfter to a delay, rounded up to whole seconds.
func SetRetryAfter(header http.Header, delay time.Duration) {
	header.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(delay.Seconds()))))
}
