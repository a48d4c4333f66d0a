package dynamic

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// parser reads files into one Source and collects every fault.
type parser struct {
	source *Source
	faults Faults

	file File
}

// listParser reads one list of a file into the Set.
type listParser func(p *parser, value hujson.Value)

func (p *parser) parseFile(file File) {
	p.file = file
	value, err := hujson.Parse(file.Data)
	if err != nil {
		p.addSyntaxFault(err)
		return
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		p.add(Fault{Position: p.at(value.StartOffset), Message: "the file is not a JSON object"})
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := memberName(member)
		parse, known := parserOf(name)
		switch {
		case !known:
			p.add(Fault{Position: p.at(member.Name.StartOffset), Message: "unknown kind of objects \"" + name + "\""})
		case seen[name]:
			p.add(Fault{Position: p.at(member.Name.StartOffset), Message: "\"" + name + "\" stands twice in the file"})
		default:
			parse(p, member.Value)
		}
		seen[name] = true
	}
}

// parseList returns the parser of one list of objects of type T.
func parseList[T any](kind Kind, list func(*Set) *[]T) listParser {
	known := fieldNames(reflect.TypeFor[T]())
	return func(p *parser, value hujson.Value) {
		array, ok := value.Value.(*hujson.Array)
		if !ok {
			p.add(Fault{Position: p.at(value.StartOffset), Message: "\"" + string(kind) + "\" is not a list"})
			return
		}
		objects := list(&p.source.Set)
		for _, element := range array.Elements {
			var object T
			p.parseObject(element, kind, len(*objects), known, &object)
			*objects = append(*objects, object)
		}
	}
}

// parseObject decodes one object member by member, so that each faulty field
// gets its own fault.
func (p *parser) parseObject(value hujson.Value, kind Kind, index int, known map[string]bool, into any) {
	key := objectKey{kind: kind, index: index}
	p.source.objects[key] = p.at(value.StartOffset)
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		p.add(Fault{Position: p.at(value.StartOffset), Kind: kind, Index: index, Message: "not a JSON object"})
		return
	}
	name := objectName(object)
	seen := map[string]bool{}
	for _, member := range object.Members {
		field := memberName(member)
		fault := Fault{Position: p.at(member.Name.StartOffset), Kind: kind, Index: index, Name: name, Field: field}
		p.source.fields[fieldKey{key, field}] = fault.Position
		switch {
		case !known[field]:
			fault.Message = "unknown field"
		case seen[field]:
			fault.Message = "the field stands twice"
		default:
			fault.Message = decodeMember(member, into)
		}
		seen[field] = true
		if fault.Message != "" {
			p.add(fault)
		}
	}
}

// decodeMember decodes one member into the struct and returns what is wrong.
func decodeMember(member hujson.ObjectMember, into any) string {
	single := hujson.Value{Value: &hujson.Object{Members: []hujson.ObjectMember{member}}}
	single = single.Clone()
	single.Standardize()
	err := json.Unmarshal(single.Pack(), into)
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &wrongType):
		return "a JSON " + wrongType.Value + " where " + typeName(wrongType.Type) + " is expected"
	default:
		return err.Error()
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice, reflect.Array:
		return "a list"
	default:
		return t.String()
	}
}

func (p *parser) add(f Fault) { p.faults = append(p.faults, f) }

// addSyntaxFault adds the error of hujson, which names line and column.
func (p *parser) addSyntaxFault(err error) {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	p.add(Fault{Position: Position{File: p.file.Name, Line: syntaxLine(message)}, Message: message})
}

// at returns the place of the byte offset in the current file.
func (p *parser) at(offset int) Position {
	offset = min(max(offset, 0), len(p.file.Data))
	return Position{File: p.file.Name, Line: 1 + bytes.Count(p.file.Data[:offset], []byte("\n"))}
}

func memberName(member hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// objectName returns the field "name" of the object, or nothing.
func objectName(object *hujson.Object) string {
	for _, member := range object.Members {
		literal, ok := member.Value.Value.(hujson.Literal)
		if ok && memberName(member) == "name" && literal.Kind() == '"' {
			return literal.String()
		}
	}
	return ""
}

// fieldNames returns the JSON names of the fields of a struct type.
func fieldNames(t reflect.Type) map[string]bool {
	names := map[string]bool{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names[name] = true
	}
	return names
}
