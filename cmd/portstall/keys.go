package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"portstall/internal/member"
	"portstall/internal/node"
)

// keysCmd is the keys command.
type keysCmd struct {
	Make keysMakeCmd `cmd:"" help:"Create a key file, readable by its owner only, and print the public key."`
	Show keysShowCmd `cmd:"" help:"Print the public key of a key file."`
	Next keysNextCmd `cmd:"" help:"Create the next key and print its public key, which is added to every node's file beside the old one."`
	Roll keysRollCmd `cmd:"" help:"Start to use the next key, once every node has read its file. Reload this node afterwards."`
}

// keyFile is the argument of the keys commands.
type keyFile struct {
	File string `arg:"" help:"The key file."`
}

// The commands below keys.
type (
	keysMakeCmd struct{ keyFile }
	keysShowCmd struct{ keyFile }
	keysNextCmd struct{ keyFile }
	keysRollCmd struct{ keyFile }
)

// printPublic prints a public key, unless err is set, and returns err.
func printPublic(public string, err error) error {
	if err == nil {
		fmt.Println(public)
	}
	return err
}

// Run creates a key file.
func (c keysMakeCmd) Run() error { return printPublic(member.MakeKey(c.File)) }

// Run creates the next key.
func (c keysNextCmd) Run() error { return printPublic(member.NextKey(c.File)) }

// Run replaces the key by the next one.
func (c keysRollCmd) Run() error { return printPublic(member.ActivateNextKey(c.File)) }

// Run prints the public key of a key file.
func (c keysShowCmd) Run() error {
	key, err := member.ReadKey(c.File)
	if err != nil {
		return err
	}
	return printPublic(member.PublicText(key), nil)
}

// membersCmd is the members command.
type membersCmd struct {
	Mgmt string `required:"" help:"The node's management address, host:port."`
}

// Run reads the members from a node's management address and prints them.
func (c membersCmd) Run() error {
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Get("http://" + c.Mgmt + "/-/members")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: the node has no members; check members in its configuration (%s)", c.Mgmt, resp.Status)
	}
	var members node.Members
	if err := json.Unmarshal(text, &members); err != nil {
		return fmt.Errorf("%s: %w", c.Mgmt, err)
	}
	fmt.Printf("%s: %d members alive including itself; slowness %d, %d bytes sent\n", members.Name, members.Alive, members.Slowness, members.SentBytes)
	for _, m := range members.Members {
		fmt.Println(m)
	}
	return nil
}
