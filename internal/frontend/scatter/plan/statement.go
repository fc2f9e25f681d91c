package plan

import (
	"fmt"
	"strings"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
)

// ShardStatement returns the statement with which a shard reads up to maxRows rows after a place. params is the number of the client's
// parameters; values are those of the parameters added after them, in the text format.
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

// conditionAfter returns a condition that holds for the shard's rows after a place, and the values of its parameters.
//
// A row is after the place if it is equal in some number of leading columns, and after it in the next column. The columns of the shard's
// own order are compared only at the shard that the place belongs to. At later shards, rows that are equal in all other columns are after
// the place, too.
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

// orderBy returns the expressions of ORDER BY.
func orderBy(order *merge.Order) string {
	var list []string
	for i := range order.Columns {
		column := (*sqlColumn)(&order.Columns[i])
		list = append(list, column.orderBy())
	}
	return strings.Join(list, ", ")
}

// sqlColumn writes SQL for a column.
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

// equals returns a condition that holds for rows whose column has the value of a parameter, or is NULL.
func (c *sqlColumn) equals(null bool, param string) string {
	if null {
		return c.expression() + " IS NULL"
	}
	return c.expression() + " = " + param
}

// after returns a condition that holds for rows whose column is after a parameter, or after NULL, in the order. It is empty if there can
// be no such row.
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
