// Command standin-2 plays one case of the second review: it starts the project's programs as processes on loopback
// addresses, stands in for workers, callers and the operator, and checks one rule. It exits with 1 if the rule was
// broken, with 0 if it held, and with 2 if the case could not be played.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario plays a case and returns what broke the rule. Without trouble it does the same without the disruption.
type scenario func(ctx context.Context, e *estate, trouble string) (broken []string, err error)

// playTime bounds a case.
const playTime = 112 * time.Second

var scenarios = map[string]scenario{
	"zone":    playZone,
	"large":   playLarge,
	"fills":   playFills,
	"configs": playConfigs,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case with its record in a folder and returns the exit status.
func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE")
	rec.line("case %s, TROUBLE=%q", name, trouble)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, playTime)
	defer cancel()
	e, err := newEstate(rec)
	if err == nil {
		var broken []string
		broken, err = scenarios[name](ctx, e, trouble)
		e.close()
		if err == nil && len(broken) > 0 {
			for _, b := range broken {
				rec.line("BROKEN: %s", b)
				fmt.Fprintln(os.Stderr, "broken:", b)
			}
			return 1
		}
	}
	if err != nil || ctx.Err() != nil {
		rec.line("could not be played: %v", errors.Join(err, ctx.Err()))
		fmt.Fprintln(os.Stderr, "could not be played:", err)
		return 2
	}
	rec.line("the rule held")
	return 0
}

// pause waits, or ends early with the context's error.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// await polls a condition until it holds or the limit has passed.
func await(ctx context.Context, what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if holds() {
			return nil
		}
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("waited %s in vain: %s", limit, what)
}
