package commander

import (
	"context"
	"fmt"

	"github.com/jaygw/jaygw"
)

func (c *Commander) addMembers() {
	member := c.add(&c.parser.Subcommand, "member", "list, add or remove replicas of the control group", nil)
	c.add(member, "list", "list the members", c.listMembers)
	add := c.add(member, "add", "add a replica, which votes once it has caught up", c.addMember)
	add.UInt64(&c.options.Member.ID, "i", "id", "id, never used before")
	add.String(&c.options.Member.Name, "n", "name", "name")
	add.String(&c.options.Member.Address, "a", "address", "address of the replica for other processes")
	add.String(&c.options.Member.Domain, "d", "failure-domain", "failure domain")
	add.UInt64(&c.options.Member.Replaces, "r", "replaces", "member that leaves once the new one votes")
	remove := c.add(member, "remove", "remove a replica", c.removeMember)
	remove.UInt64(&c.options.Member.ID, "i", "id", "id")
}

func (c *Commander) listMembers(ctx context.Context) error {
	status, err := c.client().Members(ctx)
	if err != nil {
		return err
	}
	return c.print(status, func(t *tableWriter) {
		for _, m := range status.Members {
			role := "learner"
			switch {
			case m.ID == status.Leader:
				role = "leader"
			case m.Voter:
				role = "voter"
			}
			t.printLine("%d\t%s\t%s\t%s\t%s", m.ID, m.Name, m.Address, m.Domain, role)
		}
	})
}

func (c *Commander) addMember(ctx context.Context) error {
	m := c.options.Member
	if m.ID == 0 || m.Name == "" || m.Address == "" || m.Domain == "" {
		return &usageError{fmt.Errorf("--id, --name, --address and --failure-domain are needed")}
	}
	response, err := c.client().ChangeMembers(ctx, jaygw.ChangeMembers{Add: &m})
	return c.printChange(response, err, fmt.Sprintf("member %d is added and votes once it has caught up", m.ID))
}

func (c *Commander) removeMember(ctx context.Context) error {
	id := c.options.Member.ID
	if id == 0 {
		return &usageError{fmt.Errorf("--id is needed")}
	}
	response, err := c.client().ChangeMembers(ctx, jaygw.ChangeMembers{Remove: id})
	return c.printChange(response, err, fmt.Sprintf("member %d is no member", id))
}
