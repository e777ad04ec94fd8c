package whole

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
	// callers send requests to all entries and keep what they were told.
	callers struct {
		entries []string
		client  *http.Client

		mu     sync.Mutex
		random *rand.Rand
		told   []told
	}

	// told is what a caller knows of its request at the end.
	told struct {
		id       string
		keyed    bool
		answered bool
		own      bool // the response is that of this request
		refused  bool // every try was refused as not executed
	}
)

const (
	requestHeader = "X-Request-Id"
	callerPause   = 20 * time.Millisecond
	keyedTries    = 40
)

func newCallers(e *estate, seed uint64) *callers {
	c := &callers{client: &http.Client{Timeout: 5 * time.Second}, random: rand.New(rand.NewPCG(seed, 1))}
	for _, d := range e.entries {
		c.entries = append(c.entries, d.settings.Listen.Callers)
	}
	return c
}

// run sends non-idempotent requests until the context ends; every fourth has an
// idempotency key and is sent again until it is answered.
func (c *callers) run(ctx context.Context, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		result := told{id: id, keyed: n%4 == 0, refused: true}
		tries := 1
		if result.keyed {
			tries = keyedTries
		}
		for try := 0; try < tries && !result.answered; try++ {
			if try > 0 {
				time.Sleep(10 * callerPause)
			}
			c.send(&result)
		}
		c.mu.Lock()
		c.told = append(c.told, result)
		c.mu.Unlock()
		time.Sleep(callerPause)
	}
}

func (c *callers) send(result *told) {
	body := []byte("body of " + result.id)
	request, err := http.NewRequest(http.MethodPost, "http://"+c.entry()+"/preview/confirm?work=3ms", bytes.NewReader(body))
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
	echoed, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		result.refused = false
	case response.StatusCode == http.StatusOK:
		result.answered = true
		result.refused = false
		result.own = bytes.Equal(body, echoed)
	case response.Header.Get(jaygw.HeaderExecuted) != string(jaygw.NotExecuted):
		result.refused = false
	}
}

func (c *callers) entry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[c.random.IntN(len(c.entries))]
}
