package distribution_test

import (
	"fmt"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/distribution"
)

func ExampleHolder() {
	newer, _ := (&dynamic.Config{Version: 8, PublishID: "p8"}).Encode()
	older, _ := (&dynamic.Config{Version: 7, PublishID: "p7"}).Encode()
	holder := distribution.NewHolder(nil, nil)
	for _, stored := range [][]byte{newer, older} {
		result, _ := holder.Offer(stored)
		fmt.Println(result, holder.Version())
	}
	// Output:
	// adopted 8
	// older 8
}

func ExampleRank() {
	members := []string{"entry-1", "entry-2", "entry-3"}
	watchers := 0
	for _, member := range members {
		if distribution.Rank(member, members) < distribution.WatcherCount {
			watchers++
		}
	}
	fmt.Println(watchers)
	// Output: 2
}
