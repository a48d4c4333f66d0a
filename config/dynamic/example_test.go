package dynamic_test

import (
	"fmt"

	"samphireferry.example/ferry/config/dynamic"
)

func ExampleParse() {
	source, err := dynamic.Parse(dynamic.File{Name: "customers.hujson", Data: []byte(`{
  // Comments and trailing commas are allowed.
  "customers": [{"name": "acme", "rate": "100/s", "burst": 0}],
  "keys": [{"name": "k", "customer": "acne", "sha256": "ab"}],
}`)})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(source.Check().Err())
	// Output:
	// customers.hujson:3: customers acme: burst: must be at least 1
	// customers.hujson:4: keys k: customer: no customer "acne"
	// customers.hujson:4: keys k: sha256: not 64 hexadecimal digits
}
