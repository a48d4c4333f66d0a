package entryinstance_test

import (
	"context"
	"fmt"

	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/rpc/entrypb"
)

// echo responds to a heartbeat with the state that it received.
type echo struct {
	entrypb.UnimplementedEntryServer
}

func (echo) Heartbeat(_ context.Context, state *entrypb.State) (*entrypb.State, error) {
	return state, nil
}

func Example() {
	config := entryinstance.Config{}
	server, err := entryinstance.NewServer(config, echo{})
	if err != nil {
		fmt.Println(err)
		return
	}
	listener, err := entryinstance.Listen(config, "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	pool, err := entryinstance.NewPool(config)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer pool.Close()
	client, err := pool.Client(listener.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	state, err := client.Heartbeat(context.Background(), &entrypb.State{Identity: &entrypb.Identity{Name: "e1"}})
	fmt.Println(state.GetIdentity().GetName(), err)
	// Output: e1 <nil>
}
