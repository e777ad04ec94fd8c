package endtoend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// callers sends requests to all entries and records the outcome of each.
	callers struct {
		entries []string
		client  *http.Client

		mu       sync.Mutex
		rng      *rand.Rand
		outcomes []requestOutcome
	}

	// requestOutcome is the outcome of a request as its caller saw it.
	requestOutcome struct {
		id          string
		keyed       bool // sent with an idempotency key
		answered    bool // with status 200
		ownResponse bool // the response echoes the body of this request
		refused     bool // every try was refused as not executed
	}
)

const (
	requestHeader = "X-Request-Id"
	requestPause  = 20 * time.Millisecond // between two requests of a caller
	maxKeyedTries = 40
)

func newCallers(e *estate, seed uint64) *callers {
	c := &callers{client: &http.Client{Timeout: 5 * time.Second}, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, d := range e.entries {
		c.entries = append(c.entries, d.settings.Listen.Callers)
	}
	return c
}

// run sends non-idempotent requests until the context ends. Every fourth has an idempotency
// key and is sent up to maxKeyedTries times until it is answered.
func (c *callers) run(ctx context.Context, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		result := requestOutcome{id: id, keyed: n%4 == 0, refused: true}
		tries := 1
		if result.keyed {
			tries = maxKeyedTries
		}
		for try := 0; try < tries && !result.answered; try++ {
			if try > 0 {
				time.Sleep(10 * requestPause)
			}
			c.send(&result)
		}
		c.mu.Lock()
		c.outcomes = append(c.outcomes, result)
		c.mu.Unlock()
		time.Sleep(requestPause)
	}
}

// send sends a request once and updates its result.
func (c *callers) send(result *requestOutcome) {
	body := []byte("body of " + result.id)
	request, err := http.NewRequest(http.MethodPost, "http://"+c.randomEntry()+"/preview/confirm?work=3ms", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set(requestHeader, result.id)
	if result.keyed {
		request.Header.Set(jaygw.HeaderKey, result.id)
	}
	response, err := c.client.Do(request)
	if err != nil {
		result.refused = false
		return
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		result.refused = false
	case response.StatusCode == http.StatusOK:
		result.answered = true
		result.refused = false
		result.ownResponse = bytes.Equal(body, received)
	case response.Header.Get(jaygw.HeaderExecuted) != string(jaygw.NotExecuted):
		result.refused = false
	}
}

func (c *callers) randomEntry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[c.rng.IntN(len(c.entries))]
}
