package refusal_test

import (
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/dotterelseam/dotterelseam/refusal"
)

func ExampleWrite() {
	rec := httptest.NewRecorder()
	refusal.Write(rec, refusal.New(refusal.Overload, "the queue is full").WithRetryAfter(200*time.Millisecond))
	fmt.Println(rec.Code, rec.Header().Get(refusal.HeaderReason), "ran:", rec.Header().Get(refusal.HeaderRan))

	r, ok := refusal.Parse(rec.Header(), rec.Body.Bytes())
	fmt.Println(ok, r.RetryAfter, r.Message)
	// Output:
	// 503 overload ran: no
	// true 200ms the queue is full
}
