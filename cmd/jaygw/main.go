// Command jaygw runs jaygw's daemons and the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jaygw/jaygw/internal/operator/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	exitCode := commander.New(os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
	stop()
	os.Exit(exitCode)
}
