package dynamic

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseReportsFileLineAndObject(t *testing.T) {
	for _, c := range []struct {
		text string
		want string
	}{
		{"{", "f:1: line 1, column 2: parsing value: unexpected EOF"},
		{"[]", "f:1: the file is not a JSON object"},
		{"{\n\"custmers\": []}", `f:2: unknown kind of objects "custmers"`},
		{"{\"keys\": [],\n\"keys\": []}", `f:2: "keys" appears twice in the file`},
		{"{\"keys\": {}}", `f:1: "keys" is not a list`},
		{"{\"keys\": [\n1]}", `f:2: keys #1: not a JSON object`},
		{"{\"customers\": [{\"name\": \"a\",\n// comment\n\"rat\": 1}]}", `f:3: customers a: rat: unknown field`},
		{"{\"customers\": [{\"name\": \"a\", \"Rate\": \"1/s\"}]}", `f:1: customers a: Rate: unknown field`},
		{"{\"customers\": [{\"name\": \"a\", \"name\": \"b\"}]}", `f:1: customers a: name: the field appears twice`},
		{"{\"customers\": [{\"name\": \"a\", \"rate\": 100}]}", `f:1: customers a: rate: 100 needs a unit and quotes`},
		{"{\"customers\": [{\"name\": \"a\", \"rate\": \"100ms\"}]}", `f:1: customers a: rate: "100ms" is not a rate such as "200/s", "90/min" or "10/h"`},
		{"{\"customers\": [{\"name\": \"a\", \"burst\": \"5\"}]}", `f:1: customers a: burst: a JSON string where a whole number is expected`},
		{"{\"customers\": [{\"name\": \"a\", \"burst\": 1.5}]}", `f:1: customers a: burst: a JSON number 1.5 where a whole number is expected`},
		{"{\"services\": [{\"name\": \"a\", \"deferrable\": 1}]}", `f:1: services a: deferrable: a JSON number where true or false is expected`},
		{"{\"services\": [{\"name\": \"a\", \"queue_timeout\": \"-1s\"}]}", `f:1: services a: queue_timeout: "-1s" is negative`},
		{"{\"moves\": [{\"name\": \"a\", \"cap\": \"150%\"}]}", `f:1: moves a: cap: share "150%" is over 100%`},
		{"{\"links\": [{\"name\": \"a\", \"bandwidth\": \"4000Mb\"}]}", `f:1: links a: bandwidth: "4000Mb" is not a bandwidth such as "4000Mbit/s"`},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, err := Parse(File{Name: "f", Data: []byte(c.text)})
			assert.Error(t, err, c.want)
		})
	}
}

func TestCheckReportsPositionsAcrossFiles(t *testing.T) {
	source, err := Parse(
		File{Name: "a", Data: []byte("{\"customers\": [{\"name\": \"acme\",\n\"rate\": \"1/s\", \"burst\": 1}]}")},
		File{Name: "b", Data: []byte("{\"customers\": [\n{\"name\": \"acme\", \"rate\": \"1/s\"}],\n\"keys\": [{\"name\": \"k\", \"customer\": \"x\",\n\"sha256\": \"1\"}],}")},
	)
	assert.NilError(t, err)
	assert.Error(t, source.Check(), `b:2: customers acme: name: the name stands twice
b:2: customers acme: burst: must be at least 1
b:3: keys k: customer: no customer "x"
b:4: keys k: sha256: not 64 hexadecimal digits`)
}

func FuzzParse(f *testing.F) {
	good, err := json.MarshalIndent(validSet(), "", "  ")
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte("{\"customers\": [{\"name\": \"a\", // x\n\"rate\": \"1/s\", \"burst\": 1,},]}"))
	f.Add([]byte("{\"moves\": [{\"cap\": \"1e400%\", \"step\": \"0.1e-30%\"}]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		source, err := Parse(File{Name: "f", Data: data})
		if err != nil || source.Check().Err() != nil {
			return
		}
		config := &Config{Version: 1, Set: source.Set}
		stored, err := config.Encode()
		assert.NilError(t, err)
		read, err := Decode(stored)
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(&source.Set, &read.Set)), 0)
		assert.NilError(t, Check(&read.Set).Err())
	})
}
