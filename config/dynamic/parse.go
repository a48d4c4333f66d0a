package dynamic

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// parser reads files into one Source and collects every validation error.
type parser struct {
	source *Source
	errs   ValidationErrors

	file File
}

// listParser reads one list of a file into the Set.
type listParser func(p *parser, value hujson.Value)

// parseFile adds the objects of one file to the source.
func (p *parser) parseFile(file File) {
	p.file = file
	value, err := hujson.Parse(file.Data)
	if err != nil {
		p.addSyntaxError(err)
		return
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		p.addError(ValidationError{Position: p.positionAt(value.StartOffset), Message: "the file is not a JSON object"})
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := memberName(member)
		parse, known := parserFor(name)
		switch {
		case !known:
			p.addError(ValidationError{Position: p.positionAt(member.Name.StartOffset), Message: "unknown kind of objects \"" + name + "\""})
		case seen[name]:
			p.addError(ValidationError{Position: p.positionAt(member.Name.StartOffset), Message: "\"" + name + "\" appears twice in the file"})
		default:
			parse(p, member.Value)
		}
		seen[name] = true
	}
}

// parseList returns the parser of one list of objects of type T.
func parseList[T any](kind Kind, list func(*Set) *[]T) listParser {
	knownFields := fieldNames(reflect.TypeFor[T]())
	return func(p *parser, value hujson.Value) {
		array, ok := value.Value.(*hujson.Array)
		if !ok {
			p.addError(ValidationError{Position: p.positionAt(value.StartOffset), Message: "\"" + string(kind) + "\" is not a list"})
			return
		}
		objects := list(&p.source.Set)
		for _, element := range array.Elements {
			var object T
			p.parseObject(element, kind, len(*objects), knownFields, &object)
			*objects = append(*objects, object)
		}
	}
}

// parseObject decodes one object member by member, so that each invalid field has
// its own error.
func (p *parser) parseObject(value hujson.Value, kind Kind, index int, knownFields map[string]bool, into any) {
	key := objectKey{kind: kind, index: index}
	p.source.objects[key] = p.positionAt(value.StartOffset)
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		p.addError(ValidationError{Position: p.positionAt(value.StartOffset), Kind: kind, Index: index, Message: "not a JSON object"})
		return
	}
	name := objectName(object)
	seen := map[string]bool{}
	for _, member := range object.Members {
		field := memberName(member)
		fieldErr := ValidationError{Position: p.positionAt(member.Name.StartOffset), Kind: kind, Index: index, Name: name, Field: field}
		p.source.fields[fieldKey{key, field}] = fieldErr.Position
		switch {
		case !knownFields[field]:
			fieldErr.Message = "unknown field"
		case seen[field]:
			fieldErr.Message = "the field appears twice"
		default:
			fieldErr.Message = decodeMember(member, into)
		}
		seen[field] = true
		if fieldErr.Message != "" {
			p.addError(fieldErr)
		}
	}
}

// decodeMember decodes one member into the struct and returns an error message, or
// an empty string.
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

// typeName describes a Go type as the JSON value that a file must have for it.
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

func (p *parser) addError(err ValidationError) { p.errs = append(p.errs, err) }

// addSyntaxError adds an error of hujson, whose message has the line and column.
func (p *parser) addSyntaxError(err error) {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	p.addError(ValidationError{Position: Position{File: p.file.Name, Line: syntaxLine(message)}, Message: message})
}

// positionAt returns the position of the byte offset in the current file.
func (p *parser) positionAt(offset int) Position {
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

// objectName returns the field "name" of the object, or an empty string.
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
