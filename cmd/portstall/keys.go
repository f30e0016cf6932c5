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

type keysCmd struct {
	Make keysMakeCmd `cmd:"" help:"Make a key file, readable by its owner alone, and print the public half."`
	Show keysShowCmd `cmd:"" help:"Print the public half of a key file."`
	Next keysNextCmd `cmd:"" help:"Make the key that is to follow, and print its public half: it goes into every node's file beside the old one."`
	Roll keysRollCmd `cmd:"" help:"Use the key that is to follow, once every node has read the file. Then reload this node."`
}

type keyFile struct {
	File string `arg:"" help:"The key file."`
}

type (
	keysMakeCmd struct{ keyFile }
	keysShowCmd struct{ keyFile }
	keysNextCmd struct{ keyFile }
	keysRollCmd struct{ keyFile }
)

// printed prints the public half that a step has led to.
func printed(public string, err error) error {
	if err == nil {
		fmt.Println(public)
	}
	return err
}

func (c keysMakeCmd) Run() error { return printed(member.MakeKey(c.File)) }
func (c keysNextCmd) Run() error { return printed(member.NextKey(c.File)) }
func (c keysRollCmd) Run() error { return printed(member.UseNext(c.File)) }

func (c keysShowCmd) Run() error {
	key, err := member.ReadKey(c.File)
	if err != nil {
		return err
	}
	return printed(member.PublicText(key), nil)
}

type membersCmd struct {
	Mgmt string `required:"" help:"The node's management address, host:port."`
}

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
		return fmt.Errorf("%s: no members there: does its file have any? (%s)", c.Mgmt, resp.Status)
	}
	var all node.Members
	if err := json.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("%s: %w", c.Mgmt, err)
	}
	fmt.Printf("%s knows %d alive, itself included; slowness %d, %d bytes sent\n", all.Name, all.Alive, all.Slowness, all.Sent)
	for _, m := range all.Members {
		fmt.Println(m)
	}
	return nil
}
