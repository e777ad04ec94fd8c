package commander

import (
	"context"
	"fmt"

	"github.com/jaygw/jaygw/internal/config/checker"
	"github.com/jaygw/jaygw/internal/operator/client"
	"github.com/jaygw/jaygw/internal/operator/responder"
	"github.com/rotisserie/eris"
)

func (c *Commander) addDocuments() {
	root := &c.parser.Subcommand
	check := c.add(root, "check", "validate a document without contact to the estate", c.check)
	check.AddPositionalValue(&c.options.File, "file", 1, true, "document")
	plan := c.add(root, "plan", "show what a document would change", c.plan)
	plan.AddPositionalValue(&c.options.File, "file", 1, true, "document")
	submit := c.add(root, "submit", "put a document on trial", c.submit)
	submit.AddPositionalValue(&c.options.File, "file", 1, true, "document")
	submit.String(&c.options.Author, "a", "author", "who submits")
	promote := c.add(root, "promote", "put a reviewed document in force", c.promote)
	promote.String(&c.options.Environment, "e", "environment", "environment")
	promote.String(&c.options.Digest, "d", "digest", "digest that was reviewed")
	promote.String(&c.options.Author, "a", "author", "who promotes")
}

// client returns a client of the operator endpoint that the options name.
func (c *Commander) client() *client.Client { return client.New(c.options.Server).WithToken(c.token) }

func (c *Commander) check(context.Context) error {
	document, err := readFile(c.options.File, checker.Document)
	if err != nil {
		return err
	}
	digest := checker.Digest(document)
	return c.print(map[string]string{"digest": digest}, func(t *tableWriter) {
		t.printLine("%s is valid, digest %s", c.options.File, digest)
	})
}

func (c *Commander) plan(ctx context.Context) error {
	document, err := readFile(c.options.File, checker.Document)
	if err != nil {
		return err
	}
	plan, err := c.client().Plan(ctx, document)
	if err != nil {
		return err
	}
	return c.print(plan, func(t *tableWriter) {
		if plan.InForce == "" {
			t.printLine("environment %s has no document in force", plan.Environment)
		} else {
			t.printLine("environment %s, compared with document %d in force, digest %s", plan.Environment, plan.InForceNumber, plan.InForce)
		}
		if len(plan.Changes) == 0 {
			t.printLine("nothing would change")
		}
		for _, change := range plan.Changes {
			t.printLine("  %s", change)
		}
		for _, effect := range plan.Effects {
			t.printLine("effect: %s", effect)
		}
		t.printLine("document %d, digest to review and promote: %s", document.Number, plan.Digest)
	})
}

func (c *Commander) submit(ctx context.Context) error {
	document, err := readFile(c.options.File, checker.Document)
	if err != nil {
		return err
	}
	response, err := c.client().Submit(ctx, document, c.options.Author)
	return c.printChange(response, err, fmt.Sprintf("document %d is on trial, digest %s", document.Number, response.Digest))
}

func (c *Commander) promote(ctx context.Context) error {
	if c.options.Environment == "" || c.options.Digest == "" {
		return &usageError{eris.New("--environment and --digest are needed")}
	}
	response, err := c.client().Promote(ctx, c.options.Environment, c.options.Digest, c.options.Author)
	return c.printChange(response, err, "the document is in force")
}

// printChange prints the result of a change, which done describes in the text output. A refusal is
// returned as the error of the command, and with JSON output also printed.
func (c *Commander) printChange(response responder.ChangeResponse, err error, done string) error {
	if err != nil {
		return err
	}
	if response.Refusal != nil {
		if c.options.Output == outputJSON {
			if err := c.print(response, nil); err != nil {
				return err
			}
		}
		return response.Refusal
	}
	return c.print(response, func(t *tableWriter) {
		if response.AlreadyApplied {
			t.printLine("%s already (index %d)", done, response.Index)
			return
		}
		t.printLine("%s (index %d)", done, response.Index)
	})
}
