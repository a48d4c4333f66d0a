package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"samphireferry.example/ferry/client"
)

// entryInstance responds like the only entry instance of a system.
func entryInstance(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == client.PathEntryInstances {
		fmt.Fprintf(w, `{"ttl_seconds": 5, "home": "e1~1", "entry_instances": [{"address": %q}]}`, r.Host)
		return
	}
	w.Header().Set(client.HeaderOutcome, "ran")
	fmt.Fprint(w, "filed")
}

func Example() {
	server := httptest.NewServer(http.HandlerFunc(entryInstance))
	defer server.Close()
	c, err := client.New(client.Options{Entries: []string{server.URL}, Key: "ferry_example"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	ctx := context.Background()
	// The key is stored before the request is sent, so that its outcome can be
	// queried after a restart.
	key, err := c.NewKey(ctx)
	if err != nil {
		fmt.Println(err)
		return
	}
	response, err := c.Submit(ctx, key, client.Request{Method: "POST", Path: "/filings/42", Body: []byte("vote")})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(strings.HasPrefix(response.Key, "e1~1."), response.Outcome, string(response.Body))
	// Output: true ran filed
}
