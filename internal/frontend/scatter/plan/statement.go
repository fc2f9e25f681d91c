package plan

import (
	"fmt"
	"strings"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
)

// ShardStatement returns the statement for a shard, by which it reads maxRows rows behind a place, and the values of the parameters that
// it adds to the params of the client, in the text format.
func (q *Query) ShardStatement(order *merge.Order, place *cursor.Place, shard, maxRows, params int) (sql string, values [][]byte, err error) {
	condition := ""
	if place.Key != nil {
		condition, values, err = conditionAfter(order, place, shard, params)
		if err != nil {
			return "", nil, err
		}
	}
	limit := fmt.Sprintf(" ORDER BY %s LIMIT %d", orderBy(order), maxRows)
	replacer := strings.NewReplacer(PlaceholderAfter, condition, PlaceholderOrder, limit)
	return replacer.Replace(q.Statement), values, nil
}

// conditionAfter returns a condition that holds for the shard's rows behind a place, and the values of its parameters.
//
// A row is behind the place if it equals it in the first columns and is behind it in the next one. The columns of the shard's own order
// count at the place's own shard only. Rows with equal columns of the order are behind the place at shards after its own.
func conditionAfter(order *merge.Order, place *cursor.Place, shard, params int) (condition string, values [][]byte, err error) {
	key, columns := place.Key, len(order.Columns)
	if shard != place.Shard {
		key, columns = place.Key[:place.OwnOffset], order.OwnIndex
	}
	placeValues, err := order.Values(key)
	if err != nil || len(placeValues) != columns {
		return "", nil, fmt.Errorf("place: %w", merge.ErrValue)
	}
	var alternatives []string
	equalSoFar := ""
	for i := range columns {
		column := (*sqlColumn)(&order.Columns[i])
		value := placeValues[i]
		param := ""
		if !value.Null {
			values = append(values, value.Text)
			param = fmt.Sprintf("$%d::%s", params+len(values), column.Type)
		}
		if after := column.after(value.Null, param); after != "" {
			alternatives = append(alternatives, equalSoFar+after)
		}
		equalSoFar += column.equals(value.Null, param) + " AND "
	}
	if shard > place.Shard {
		alternatives = append(alternatives, strings.TrimSuffix(equalSoFar, " AND "))
	}
	if len(alternatives) == 0 {
		alternatives = []string{"false"}
	}
	return " AND (" + strings.Join(alternatives, " OR ") + ")", values, nil
}

// orderBy returns the list of ORDER BY.
func orderBy(order *merge.Order) string {
	var list []string
	for i := range order.Columns {
		column := (*sqlColumn)(&order.Columns[i])
		list = append(list, column.orderBy())
	}
	return strings.Join(list, ", ")
}

// sqlColumn writes SQL of a column.
type sqlColumn merge.Column

func (c *sqlColumn) orderBy() string {
	term := c.expression()
	if c.Desc {
		term += " DESC"
	}
	if c.NullsFirst {
		return term + " NULLS FIRST"
	}
	return term + " NULLS LAST"
}

func (c *sqlColumn) expression() string {
	expression := c.Expr
	if expression == "" {
		expression = `"` + strings.ReplaceAll(c.Name, `"`, `""`) + `"`
	}
	if c.Type == merge.Text {
		expression += ` COLLATE "C"`
	}
	return expression
}

// equals returns a condition that holds for rows whose column has the value.
func (c *sqlColumn) equals(null bool, param string) string {
	if null {
		return c.expression() + " IS NULL"
	}
	return c.expression() + " = " + param
}

// after returns a condition that holds for rows whose column is behind the value in the order. It is empty if no row can be.
func (c *sqlColumn) after(null bool, param string) string {
	switch {
	case null && c.NullsFirst:
		return c.expression() + " IS NOT NULL"
	case null:
		return ""
	}
	operator := " > "
	if c.Desc {
		operator = " < "
	}
	if c.NullsFirst {
		return c.expression() + operator + param
	}
	return "(" + c.expression() + operator + param + " OR " + c.expression() + " IS NULL)"
}
